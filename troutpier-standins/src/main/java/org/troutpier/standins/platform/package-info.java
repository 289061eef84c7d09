/** Stand-ins for what the platform gives: table service, object store, instance list. */
package org.troutpier.standins.platform;
