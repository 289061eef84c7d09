/** The router daemon: how its parts are put together. */
package org.troutpier.daemon;
