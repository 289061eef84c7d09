/**
 * What decides about requests under load: how long one may wait, when a refused one comes back, how
 * much memory stays free, which engines do what. Pure: no network, and no clock but the one handed
 * in.
 */
package org.troutpier.daemon.decision;
