package org.troutpier.daemon.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import org.testng.annotations.Test;
import org.troutpier.common.http.ListeningSocket;
import org.troutpier.common.settings.Address;

public final class EarlySocketTest {

    private static final Address ANY = new Address("127.0.0.1", 0);

    private static Address freeAddress() throws IOException {
        ListeningSocket socket = ListeningSocket.open(ANY);
        Address address = socket.address();
        socket.close();
        return address;
    }

    @Test
    public void connectionsQueueBeforeAccept() throws IOException {
        Address address = freeAddress();
        EarlySocket early = EarlySocket.open(address.toString());
        try (Socket caller = new Socket(address.host(), address.port())) {
            assertEquals(caller.getPort(), address.port());
        }
        ListeningSocket taken = early.take(address);
        assertEquals(taken.address(), address);
        taken.close();
    }

    @Test
    public void settingsOverrideEarlyAddress() throws IOException {
        Address wrong = freeAddress();
        EarlySocket early = EarlySocket.open(wrong.toString());
        ListeningSocket taken = early.take(ANY);
        assertNotEquals(taken.address(), wrong);
        assertThrows(ConnectException.class, () -> new Socket(wrong.host(), wrong.port()));
        taken.close();
    }

    @Test
    public void invalidOrMissingAddressDoesNotPreventStart() throws IOException {
        for (String address : new String[] {null, "", "no address", "127.0.0.1:99999"}) {
            EarlySocket.open(address).take(ANY).close();
        }
    }

    @Test
    public void addressInUseFailsOnTake() throws IOException {
        ListeningSocket other = ListeningSocket.open(ANY);
        EarlySocket early = EarlySocket.open(other.address().toString());
        assertThrows(IOException.class, () -> early.take(other.address()));
        other.close();
    }
}
