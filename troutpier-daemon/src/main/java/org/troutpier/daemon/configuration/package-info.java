/** The declarations in force here and how they change. */
package org.troutpier.daemon.configuration;
