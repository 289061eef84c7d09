/** Clock that includes suspensions of the machine. */
package org.troutpier.common.time;
