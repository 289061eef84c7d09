/** Stand-ins for the outside systems, and the load tool, behind one command line. */
package org.troutpier.standins;
