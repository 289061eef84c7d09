/** The platform's object store, where kept answers lie. */
package org.troutpier.daemon.objectstore;
