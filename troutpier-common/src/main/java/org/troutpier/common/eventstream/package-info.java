/** Splits server-sent event streams into events and reads their fields. */
package org.troutpier.common.eventstream;
