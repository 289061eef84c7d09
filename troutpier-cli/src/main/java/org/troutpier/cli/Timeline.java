package org.troutpier.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import org.troutpier.common.event.Event;
import org.troutpier.common.event.HybridClock;
import org.troutpier.common.http.CallFailedException;
import org.troutpier.common.http.HttpReply;
import org.troutpier.common.http.Json;
import org.troutpier.common.settings.Address;

/** Merges the events of several processes into one time line. Confined to one thread. */
final class Timeline {

    /** How a time is shown. */
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS", Locale.ROOT).withZone(ZoneOffset.UTC);

    private final RouterClient mClient;

    private final List<Event> mEvents = new ArrayList<>();

    private final List<Address> mUnresponsive = new ArrayList<>();

    /** Creates an empty time line. */
    Timeline(RouterClient client) {
        mClient = client;
    }

    /**
     * Fetches and adds the events of processes.
     *
     * @param processes where they are
     * @param subject the subject of the events, including its attempts; empty for all
     * @return this time line
     */
    Timeline add(List<Address> processes, String subject) {
        for (Address process : processes) {
            try {
                HttpReply reply = mClient.get(process, "/events");
                if (!reply.isSuccessful()) {
                    mUnresponsive.add(process);
                    continue;
                }
                for (JsonNode node : reply.as(JsonNode.class)) {
                    Event event = Json.mapper().convertValue(node, Event.class);
                    if (concerns(event, subject)) {
                        mEvents.add(event);
                    }
                }
            } catch (CallFailedException exception) {
                mUnresponsive.add(process);
            }
        }
        return this;
    }

    /**
     * Returns whether an event concerns a subject or one of its attempts.
     *
     * @param subject the subject, or empty
     * @return whether the event's subject is it or one of its attempts
     */
    private static boolean concerns(Event event, String subject) {
        return subject.isEmpty()
                || event.subject().equals(subject)
                || event.subject().startsWith(subject + ".");
    }

    /**
     * Formats the time line.
     *
     * @return one line for each event, oldest first, then one for each process that did not respond
     */
    List<String> lines() {
        mEvents.sort(Comparator.comparingLong(Event::stamp).thenComparing(Event::process));
        List<String> lines = new ArrayList<>();
        for (Event event : mEvents) {
            Instant at = Instant.ofEpochMilli(event.stamp() >>> HybridClock.COUNTER_BITS);
            String line =
                    String.format(
                            Locale.ROOT,
                            "%s  %-14s %-18s %s  %s",
                            TIME.format(at),
                            event.process(),
                            event.kind(),
                            event.subject(),
                            event.detail());
            lines.add(line.stripTrailing());
        }
        mUnresponsive.forEach(process -> lines.add("(no events from " + process + ")"));
        return lines;
    }
}
