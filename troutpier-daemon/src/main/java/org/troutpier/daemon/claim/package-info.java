/** Claims on keyed requests: who runs one, and what came of it. */
package org.troutpier.daemon.claim;
