package medlarroute.core

import kotlinx.serialization.Serializable

/** At 2,900 changes a day, 32 versions cover about a quarter of an hour, longer than any writer waits for a reply. */
private const val MAX_PREVIOUS_NONCES = 32

/**
 * The rules as the platform's table holds them.
 *
 * @property nonce identifies the write that committed this version.
 * @property previousNonces nonces of the previous versions, the latest first, so that a writer whose reply was lost can
 * tell whether its write was committed even after later writes.
 */
@Serializable
public data class RulesRow(
    public val version: Long,
    public val text: String,
    public val nonce: String,
    public val previousNonces: List<String> = emptyList(),
) {
    /** The row that follows this one. */
    public fun next(text: String, nonce: String): RulesRow {
        val previous = (listOf(this.nonce) + previousNonces).take(MAX_PREVIOUS_NONCES)
        return RulesRow(version + 1, text, nonce, previous)
    }

    /** Whether the write of [version] with [nonce] was committed; null if this row doesn't show it. */
    public fun hasCommitted(nonce: String, version: Long): Boolean? = when {
        nonce == this.nonce || nonce in previousNonces -> true
        this.version < version -> null
        this.version - previousNonces.size <= version -> false
        else -> null
    }
}
