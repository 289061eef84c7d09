/**
 * Who asks, and how much each organisation may use over all routers: the check of keys, the count
 * of use, and the decision whether one more request is within a limit.
 */
package org.troutpier.daemon.organisation;
