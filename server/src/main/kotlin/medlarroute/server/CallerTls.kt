package medlarroute.server

import com.linecorp.armeria.server.ServerBuilder
import medlarroute.core.TlsSettings
import java.io.File
import java.net.InetSocketAddress
import java.security.KeyStore
import javax.net.ssl.KeyManagerFactory

/**
 * Binds [address], with TLS if [tls] has a key. Throws [IllegalArgumentException] if the settings are incomplete, or
 * name both PEM files and a key store.
 */
internal fun ServerBuilder.bindCallers(address: InetSocketAddress, tls: TlsSettings): ServerBuilder {
    val findings = findings(tls)
    require(findings.isEmpty()) { findings.joinToString("; ") }
    return when {
        tls.keyStoreFile.isNotEmpty() -> https(address).tls(keyManagers(tls))
        tls.certificateFile.isNotEmpty() -> https(address).tls(File(tls.certificateFile), File(tls.privateKeyFile))
        else -> http(address)
    }
}

private fun findings(tls: TlsSettings): List<String> {
    val findings = ArrayList<String>()
    if (tls.certificateFile.isEmpty() != tls.privateKeyFile.isEmpty()) {
        findings += "callers.tls: certificateFile and privateKeyFile must be set together"
    }
    if (tls.keyStoreFile.isEmpty() != tls.keyStorePasswordFile.isEmpty()) {
        findings += "callers.tls: keyStoreFile and keyStorePasswordFile must be set together"
    }
    if (tls.keyStoreFile.isNotEmpty() && tls.certificateFile.isNotEmpty()) {
        findings += "callers.tls: set either PEM files or a key store"
    }
    return findings
}

private fun keyManagers(tls: TlsSettings): KeyManagerFactory {
    val password = File(tls.keyStorePasswordFile).readText().trim().toCharArray()
    val keyStore = KeyStore.getInstance(File(tls.keyStoreFile), password)
    return KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm()).apply { init(keyStore, password) }
}
