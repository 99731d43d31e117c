package org.masticweir.recovery.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.google.common.collect.ImmutableList;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticweir.id.DomainId;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.peer.Hello;
import org.masticweir.peer.LinkSettings;
import org.masticweir.peer.MessageRegistry;
import org.masticweir.peer.PeerLinks;
import org.masticweir.time.Clock;

/** Keys are registered over loopback links by routers that know only a part of the others. */
final class KeyLinksTest {
    private static final long BOUND_MS = 5_000;
    private static final DomainId NEAR = DomainId.of("near");
    private static final DomainId FAR = DomainId.of("far");

    private final List<Router> routers = new ArrayList<>();
    private final Router near1 = new Router("near-1", NEAR);
    private final Router near2 = new Router("near-2", NEAR);
    private final Router far1 = new Router("far-1", FAR);
    private final Router far2 = new Router("far-2", FAR);

    /** Each router knows its neighbour and one router of the other domain, not the same one. */
    @BeforeEach
    void connect() {
        near1.learn(near2, far1);
        near2.learn(near1, far2);
        far1.learn(far2, near1);
        far2.learn(far1, near2);
        routers.forEach(r -> r.links.start());
    }

    @AfterEach
    void closeAll() {
        routers.forEach(r -> r.links.close());
    }

    /**
     * A report would be computed twice though all links are whole: two routers ask two different
     * routers of the key's domain. The one that is not the home passes the question on.
     */
    @Test
    void routersThatAskDifferentRoutersHearOneOwner() throws Exception {
        for (int i = 0; i < 32; i++) {
            RequestId key = RequestId.of("key-" + i);
            List<CompletableFuture<KeyEvent>> answers = new ArrayList<>();
            routers.forEach(r -> answers.add(r.ask(key)));
            KeyEvent first = answers.get(0).get(BOUND_MS, TimeUnit.MILLISECONDS);
            for (CompletableFuture<KeyEvent> answer : answers) {
                assertEquals(first, answer.get(BOUND_MS, TimeUnit.MILLISECONDS), key.value());
            }
        }
    }

    /** A key whose owner nobody finds is given anew, also where the word has to be passed on. */
    @Test
    void aReleasedKeyIsGivenToTheNextThatAsks() throws Exception {
        for (int i = 0; i < 32; i++) {
            RequestId key = RequestId.of("key-" + i);
            near1.ask(key).get(BOUND_MS, TimeUnit.MILLISECONDS);
            near2.keys.release(key, near1.id);
            // On the same link as the release, and so after it.
            KeyEvent next = near2.ask(key).get(BOUND_MS, TimeUnit.MILLISECONDS);
            assertEquals(new KeyEvent.Answered(near2.id), next, key.value());
        }
    }

    /** The router asked is gone: the next one is asked, and no owner is made up. */
    @Test
    void aHomeThatIsGoneIsUnreachable() throws Exception {
        RequestId key = keyAtHome(far1);
        far1.links.close();
        KeyEvent event = near1.ask(key).get(BOUND_MS, TimeUnit.MILLISECONDS);
        assertEquals(new KeyEvent.Unreachable(), event);
        assertNotEquals(far2.id, near1.homes.firstFor(key, 1).get(0));
    }

    /** Returns a key for which {@code near1} asks {@code home}. */
    private RequestId keyAtHome(Router home) {
        return IntStream.range(0, 100)
                .mapToObj(i -> RequestId.of("key-" + i))
                .filter(k -> near1.homes.firstFor(k, 1).get(0).equals(home.id))
                .findFirst()
                .orElseThrow();
    }

    /** One router: its links, and what it knows of the others. */
    private final class Router {
        private final RouterId id;
        private final DomainId domain;
        private final Map<RouterId, DomainId> known = new HashMap<>();
        private final PeerLinks links;
        private final KeyHomes homes;
        private final KeyLinks keys;

        Router(String name, DomainId domain) {
            id = RouterId.of(name);
            this.domain = domain;
            links =
                    PeerLinks.open(
                            LinkSettings.of(
                                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1),
                            Hello.of(id, 1, domain),
                            MessageRegistry.of(CopyMessageCodecs.all()),
                            Clock.system());
            homes = KeyHomes.of(() -> known, id, domain);
            keys =
                    KeyLinks.open(
                            links, id, homes, RegisteredKeys.create(), Clock.system(), BOUND_MS);
            routers.add(this);
        }

        void learn(Router... others) {
            for (Router other : others) {
                known.put(other.id, other.domain);
                links.learn(other.id, other.links.address());
            }
        }

        /** Asks the first home only and returns what came of it. */
        CompletableFuture<KeyEvent> ask(RequestId key) {
            CompletableFuture<KeyEvent> event = new CompletableFuture<>();
            ImmutableList<KeyAction> first = keys.question(key).start(0);
            keys.carryOut(key, (KeyAction.Ask) first.get(1), event::complete);
            return event;
        }
    }
}
