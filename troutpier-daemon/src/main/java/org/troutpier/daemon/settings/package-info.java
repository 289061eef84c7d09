/** The daemon's own settings: addresses, hall, credentials and bounds only. */
package org.troutpier.daemon.settings;
