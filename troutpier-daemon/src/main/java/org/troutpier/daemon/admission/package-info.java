/** Who may start, and when: queues, shares and decode permits. */
package org.troutpier.daemon.admission;
