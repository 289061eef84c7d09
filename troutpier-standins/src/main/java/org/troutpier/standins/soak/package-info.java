/**
 * The soak run: a seeded plan of faults, callers that ask again, and the verdict on the promises.
 */
package org.troutpier.standins.soak;
