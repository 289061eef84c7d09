/** How log lines are written without holding up those who write them. */
package org.troutpier.common.logging;
