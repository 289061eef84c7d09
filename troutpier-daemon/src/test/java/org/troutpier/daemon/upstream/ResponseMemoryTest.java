package org.troutpier.daemon.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ResponseMemoryTest {

    private final List<String> mEvicted = new ArrayList<>();

    private ResponseMemory mMemory;

    @BeforeMethod
    void start() {
        mEvicted.clear();
        mMemory = new ResponseMemory(100);
    }

    private ResponseMemory.Buffer open(String name) {
        return mMemory.open(() -> mEvicted.add(name));
    }

    @Test
    public void theLargestBufferIsEvicted() {
        ResponseMemory.Buffer small = open("small");
        ResponseMemory.Buffer large = open("large");
        assertTrue(large.add(90));
        assertTrue(small.add(10));
        assertTrue(small.add(1));
        assertEquals(mEvicted, List.of("large"));
        assertFalse(large.add(1));
        assertEquals(mMemory.bytes(), 11);
    }

    @Test
    public void aBufferThatExceedsTheMemoryAloneIsEvicted() {
        assertFalse(open("alone").add(101));
        assertEquals(mEvicted, List.of("alone"));
        assertEquals(mMemory.bytes(), 0);
    }

    @Test
    public void closedBuffersHoldNothing() {
        ResponseMemory.Buffer closed = open("closed");
        closed.add(90);
        closed.close();
        closed.close();
        assertTrue(open("next").add(100));
        assertEquals(mEvicted, List.of());
    }
}
