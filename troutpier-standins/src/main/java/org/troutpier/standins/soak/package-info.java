/** The soak run: a seeded fault plan, callers that retry, and the check of the guarantees. */
package org.troutpier.standins.soak;
