/** The load tool: open-loop load by class, and one table of what came of it. */
package org.troutpier.standins.load;
