/** The time line: events of all processes, ordered by a hybrid logical clock. */
package org.troutpier.common.event;
