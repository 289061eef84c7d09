/** Admission control: queues, fair sharing between partners and decode permits. */
package org.troutpier.daemon.admission;
