/** Faults that are switched on and off over HTTP, the same way in every stand-in. */
package org.troutpier.standins.fault;
