/** Client of the platform's object store, which holds kept answers. */
package org.troutpier.daemon.objectstore;
