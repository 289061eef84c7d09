/** Checked YAML: every fault is told with file, line and field. */
package org.troutpier.common.settings;
