package medlarroute.server

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.RequestHeaders
import medlarroute.core.CallerId
import java.nio.file.Path
import java.security.MessageDigest
import kotlin.io.path.readLines

/** Identifies the caller of a request; null if the request is not authenticated. Thread-safe. */
internal fun interface CallerAuthentication {
    fun callerOf(headers: RequestHeaders): CallerId?

    companion object {
        private const val MAX_NAME_LENGTH = 128

        /** Trusts the header `X-Caller`; for development only. */
        fun byName(): CallerAuthentication =
            CallerAuthentication { headers ->
                headers.get("x-caller")?.takeIf { it.length in 1..MAX_NAME_LENGTH }?.let(::CallerId)
            }

        /**
         * Checks bearer tokens against a file with one `caller token` pair per line; skips empty lines and lines that
         * start with `#`. Throws [IllegalArgumentException] with the numbers of malformed lines, without their text.
         */
        fun byTokens(file: Path): CallerAuthentication {
            val lines = file.readLines().map { it.trim() }
            val pairs = lines.map { it.split(Regex("\\s+")) }
            val entries = lines.indices.filter { lines[it].isNotEmpty() && !lines[it].startsWith("#") }
            val malformed = entries.filter { pairs[it].size != 2 }.map { it + 1 }
            require(malformed.isEmpty()) { "$file: each line must have a caller and a token, malformed: $malformed" }
            return TokenAuthentication(entries.map { CallerId(pairs[it][0]) to pairs[it][1] })
        }
    }
}

/** Keeps digests of the tokens. Compares all of them in constant time, so that timing reveals nothing about a token. */
private class TokenAuthentication(tokens: List<Pair<CallerId, String>>) : CallerAuthentication {
    private val digests = tokens.map { (caller, token) -> caller to digestOf(token) }

    override fun callerOf(headers: RequestHeaders): CallerId? {
        val value = headers.get(HttpHeaderNames.AUTHORIZATION) ?: return null
        if (!value.startsWith(SCHEME, ignoreCase = true)) return null
        val digest = digestOf(value.substring(SCHEME.length).trim())
        return digests.filter { (_, known) -> MessageDigest.isEqual(known, digest) }.firstOrNull()?.first
    }

    private fun digestOf(token: String): ByteArray =
        MessageDigest.getInstance("SHA-256").digest(token.encodeToByteArray())

    private companion object {
        const val SCHEME = "Bearer "
    }
}
