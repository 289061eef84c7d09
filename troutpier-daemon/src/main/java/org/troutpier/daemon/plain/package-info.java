/**
 * Queue and admission of calls to plain services: how many calls an upstream takes, which calls
 * wait for room, which are refused at once, and when a call goes to a second upstream. Classes here
 * use neither the network nor any clock other than the time passed in.
 */
package org.troutpier.daemon.plain;
