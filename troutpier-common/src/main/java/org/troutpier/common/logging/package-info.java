/** Non-blocking logging as JSON lines. */
package org.troutpier.common.logging;
