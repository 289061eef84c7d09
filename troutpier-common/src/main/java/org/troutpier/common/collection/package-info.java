/** Collections that the Java library lacks. */
package org.troutpier.common.collection;
