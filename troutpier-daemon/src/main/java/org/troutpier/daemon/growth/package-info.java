/**
 * Decides whether an engine's memory holds another run, given how the runs there will grow. Classes
 * here use neither the network nor any clock other than the time passed in.
 */
package org.troutpier.daemon.growth;
