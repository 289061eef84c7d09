/** The load tool: generates open-loop load by stream and reports the results in a table. */
package org.troutpier.standins.load;
