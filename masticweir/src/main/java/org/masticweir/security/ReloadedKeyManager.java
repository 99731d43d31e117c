package org.masticweir.security;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.Socket;
import java.security.Principal;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.X509ExtendedKeyManager;
import org.jspecify.annotations.Nullable;

/** Gives each handshake the key of the files' latest valid content; thread-safe. */
final class ReloadedKeyManager extends X509ExtendedKeyManager {
    private final ReloadedFiles<X509ExtendedKeyManager> keys;

    ReloadedKeyManager(ReloadedFiles<X509ExtendedKeyManager> keys) {
        this.keys = checkNotNull(keys, "keys");
    }

    @Override
    public @Nullable String chooseEngineServerAlias(
            String keyType, Principal @Nullable [] issuers, SSLEngine engine) {
        return keys.get().chooseEngineServerAlias(keyType, issuers, engine);
    }

    @Override
    public @Nullable String chooseEngineClientAlias(
            String[] keyTypes, Principal @Nullable [] issuers, SSLEngine engine) {
        return keys.get().chooseEngineClientAlias(keyTypes, issuers, engine);
    }

    @Override
    public @Nullable String chooseServerAlias(
            String keyType, Principal @Nullable [] issuers, Socket socket) {
        return keys.get().chooseServerAlias(keyType, issuers, socket);
    }

    @Override
    public X509Certificate @Nullable [] getCertificateChain(String alias) {
        return keys.get().getCertificateChain(alias);
    }

    @Override
    public @Nullable PrivateKey getPrivateKey(String alias) {
        return keys.get().getPrivateKey(alias);
    }

    @Override
    public String @Nullable [] getServerAliases(String keyType, Principal @Nullable [] issuers) {
        return keys.get().getServerAliases(keyType, issuers);
    }

    @Override
    public String @Nullable [] getClientAliases(String keyType, Principal @Nullable [] issuers) {
        return keys.get().getClientAliases(keyType, issuers);
    }

    @Override
    public @Nullable String chooseClientAlias(
            String[] keyTypes, Principal @Nullable [] issuers, Socket socket) {
        return keys.get().chooseClientAlias(keyTypes, issuers, socket);
    }
}
