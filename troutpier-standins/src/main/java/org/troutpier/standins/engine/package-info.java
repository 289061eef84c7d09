/** Stand-ins for prefill and decode engines, with an honest model of what they cost. */
package org.troutpier.standins.engine;
