/** The router daemon: its command line and the assembly of its components. */
package org.troutpier.daemon;
