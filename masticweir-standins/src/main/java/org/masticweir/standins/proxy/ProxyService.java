package org.masticweir.standins.proxy;

import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.standins.platform.http.Answer;
import org.masticweir.standins.platform.http.AnswerServer;
import org.masticweir.standins.platform.http.Call;

/**
 * Answers the proxy's control calls; thread-safe.
 *
 * <p>It waits for the proxy's event loop on its server's I/O threads, which carry nothing else.
 */
final class ProxyService implements AnswerServer.Service {
    private static final ProxyMessages.Done DONE = new ProxyMessages.Done();

    private final Proxy proxy;

    ProxyService(Proxy proxy) {
        this.proxy = proxy;
    }

    @Override
    public Answer answer(Call call) {
        if (call.is("POST", "/control")) {
            return control(call.message(ProxyMessages.Control.class));
        }
        if (call.is("GET", "/control/records")) {
            return Answer.ok(proxy.records());
        }
        return Answer.error(ErrorCode.NOT_FOUND, "no such call: " + call);
    }

    private Answer control(ProxyMessages.Control control) {
        try {
            if (control.add() != null) {
                proxy.add(control.add().spec());
            }
            proxy.change(control.allChanges());
            if (control.partition() != null) {
                proxy.partition(control.partition());
            }
        } catch (IllegalArgumentException e) {
            throw MasticweirException.notRun(ErrorCode.BAD_REQUEST, e.getMessage());
        }
        return Answer.ok(DONE);
    }
}
