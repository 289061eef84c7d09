/** Decides how many engines prefill and how many decode, and orders role changes. */
package org.troutpier.daemon.role;
