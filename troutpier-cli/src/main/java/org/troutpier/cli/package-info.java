/** The operators' command-line tool. */
package org.troutpier.cli;
