/** Test support shared by all modules. */
package org.troutpier.testing;
