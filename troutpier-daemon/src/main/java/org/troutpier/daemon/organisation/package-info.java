/**
 * Authentication of callers by their organisation's keys, and enforcement of each organisation's
 * usage limit over all routers.
 */
package org.troutpier.daemon.organisation;
