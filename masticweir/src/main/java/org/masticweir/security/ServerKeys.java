package org.masticweir.security;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.util.List;
import javax.net.ssl.KeyManager;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManager;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509ExtendedKeyManager;
import javax.net.ssl.X509ExtendedTrustManager;
import org.jspecify.annotations.Nullable;
import org.masticweir.time.Clock;

/** Makes TLS contexts of files; a server's key is read again when its file changes. */
public final class ServerKeys {
    private static final String PROTOCOL = "TLS";
    private static final String STORE_TYPE = "PKCS12";

    private ServerKeys() {}

    /**
     * Returns a server's context with the key and certificate of {@code store}.
     *
     * <p>Connections that begin after the files changed see the new certificate.
     *
     * @param store a PKCS #12 file
     * @param password a file whose first line is the password of the store
     * @throws IOException if a file can't be read
     * @throws IllegalArgumentException if the store doesn't open with the password
     */
    public static SSLContext serving(Path store, Path password, Clock clock) throws IOException {
        return context(keys(store, password, clock), null);
    }

    /**
     * Returns a context of either side that shows the key and certificate of {@code store} and
     * accepts certificates that those in {@code trust} signed, or that are among them.
     *
     * <p>Connections that begin after the files changed go by the new ones.
     *
     * @param store a PKCS #12 file
     * @param password a file whose first line is the password of the store
     * @param trust a file of certificates in PEM
     * @throws IOException if a file can't be read
     * @throws IllegalArgumentException if the store doesn't open with the password, or a file holds
     *     no certificate
     */
    public static SSLContext mutual(Path store, Path password, Path trust, Clock clock)
            throws IOException {
        ReloadedFiles<X509ExtendedTrustManager> trusted =
                ReloadedFiles.open(
                        ImmutableList.of(trust), contents -> trustManager(contents.get(0)), clock);
        return context(
                keys(store, password, clock),
                new TrustManager[] {new ReloadedTrustManager(trusted)});
    }

    private static KeyManager[] keys(Path store, Path password, Clock clock) throws IOException {
        ReloadedFiles<X509ExtendedKeyManager> keys =
                ReloadedFiles.open(
                        ImmutableList.of(store, password), ServerKeys::keyManager, clock);
        return new KeyManager[] {new ReloadedKeyManager(keys)};
    }

    private static SSLContext context(
            KeyManager @Nullable [] keys, TrustManager @Nullable [] trust) {
        try {
            SSLContext context = SSLContext.getInstance(PROTOCOL);
            context.init(keys, trust, null);
            return context;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Returns a client's context that trusts the certificates in {@code pem} and no others.
     *
     * @throws IOException if the file can't be read
     * @throws IllegalArgumentException if it holds no certificate
     */
    public static SSLContext trusting(byte[] pem) throws IOException {
        return context(null, new TrustManager[] {trustManager(pem)});
    }

    private static X509ExtendedTrustManager trustManager(byte[] pem) {
        try {
            KeyStore trusted = KeyStore.getInstance(KeyStore.getDefaultType());
            trusted.load(null, null);
            int number = 0;
            CertificateFactory factory = CertificateFactory.getInstance("X.509");
            for (var one : factory.generateCertificates(new ByteArrayInputStream(pem))) {
                trusted.setCertificateEntry("trusted-" + number++, one);
            }
            if (number == 0) {
                throw new IllegalArgumentException("no certificate in it");
            }
            TrustManagerFactory trust =
                    TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
            trust.init(trusted);
            for (TrustManager manager : trust.getTrustManagers()) {
                if (manager instanceof X509ExtendedTrustManager found) {
                    return found;
                }
            }
            throw new IllegalStateException("no X.509 trust manager");
        } catch (CertificateException e) {
            throw new IllegalArgumentException("no certificate in it", e);
        } catch (IOException | GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    private static X509ExtendedKeyManager keyManager(List<byte[]> contents) {
        char[] password =
                new String(contents.get(1), StandardCharsets.UTF_8)
                        .lines()
                        .findFirst()
                        .orElse("")
                        .toCharArray();
        try {
            KeyStore store = KeyStore.getInstance(STORE_TYPE);
            store.load(new ByteArrayInputStream(contents.get(0)), password);
            KeyManagerFactory factory =
                    KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
            factory.init(store, password);
            for (KeyManager manager : factory.getKeyManagers()) {
                if (manager instanceof X509ExtendedKeyManager found) {
                    return found;
                }
            }
            throw new IllegalArgumentException("no key in the store");
        } catch (IOException | GeneralSecurityException e) {
            throw new IllegalArgumentException("the store doesn't open with the password", e);
        }
    }
}
