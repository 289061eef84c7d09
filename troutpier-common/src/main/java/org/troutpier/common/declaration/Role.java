package org.troutpier.common.declaration;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The role of an upstream. Immutable and thread safe. */
public enum Role {
    /** A model engine that runs prefills. */
    @JsonProperty("prefill")
    PREFILL,
    /** A model engine that runs decodes. */
    @JsonProperty("decode")
    DECODE,
    /** A plain service's replica. */
    @JsonProperty("service")
    SERVICE;

    /**
     * Returns the name on the wire.
     *
     * @return the role in lower case
     */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
