/** The daemon's own settings: addresses, hall, credentials and limits only. */
package org.troutpier.daemon.settings;
