package org.amaranthpick.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class BodyMemoryTest {
    private final BodyMemory mMemory = BodyMemory.ofHeap(400);
    private final BodyMemory.Reservation mFirst = mMemory.open();
    private final BodyMemory.Reservation mSecond = mMemory.open();

    @Test
    void holdsAQuarterOfTheHeapAndNoByteMore() {
        assertTrue(mFirst.add(60));
        assertFalse(mSecond.add(41));
        assertTrue(mSecond.add(40));
        assertFalse(mFirst.add(1));
        assertTrue(mFirst.add(0));
        assertEquals(100, mMemory.heldBytes());
    }

    @Test
    void countsABodyThatComesInParts() {
        assertTrue(mFirst.add(30));
        assertTrue(mFirst.add(30));
        assertFalse(mFirst.add(50));
        assertEquals(60, mMemory.heldBytes());
        mFirst.release();
        assertTrue(mSecond.add(100));
    }

    @Test
    void givesEachByteBackOnce() {
        assertTrue(mFirst.add(50));
        assertTrue(mSecond.add(50));
        mFirst.release();
        mFirst.release();
        assertEquals(50, mMemory.heldBytes());
        assertFalse(mFirst.add(1), "its request has ended");
        mSecond.release();
        assertEquals(0, mMemory.heldBytes());
    }

    @Test
    void refusesLengthsThatOverflow() {
        assertTrue(mFirst.add(1));
        assertFalse(mSecond.add(Long.MAX_VALUE));
        assertEquals(1, mMemory.heldBytes());
    }
}
