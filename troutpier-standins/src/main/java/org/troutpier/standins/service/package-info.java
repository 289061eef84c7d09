/** A stand-in for plain services: status, orders and transcripts. */
package org.troutpier.standins.service;
