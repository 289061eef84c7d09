/** Clocks. */
package org.troutpier.common.time;
