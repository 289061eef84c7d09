/**
 * Limits that all routers keep together: what was used and asked lately at one router, and how much
 * more may be used by what the others report.
 */
package org.troutpier.daemon.limit;
