/** The declarations in force and the protocol that changes them. */
package org.troutpier.daemon.configuration;
