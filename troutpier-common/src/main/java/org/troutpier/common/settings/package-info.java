/** Validated YAML settings: each error names file, line and field. */
package org.troutpier.common.settings;
