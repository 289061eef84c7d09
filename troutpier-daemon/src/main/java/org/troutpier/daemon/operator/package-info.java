/** The operators' interface: health, metrics, events, declarations and commands. */
package org.troutpier.daemon.operator;
