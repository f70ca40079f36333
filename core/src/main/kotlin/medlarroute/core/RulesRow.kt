package medlarroute.core

import kotlinx.serialization.Serializable

/** At 2,900 changes a day, 32 versions last about a quarter of an hour: longer than any writer waits. */
private const val KEPT_NONCES = 32

/**
 * The rules as the platform's table holds them.
 *
 * @property nonce names the write that committed this version.
 * @property previousNonces nonces of the versions before, the latest first, so that a writer whose reply was lost finds
 * its write even after others have followed.
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
        val previous = (listOf(this.nonce) + previousNonces).take(KEPT_NONCES)
        return RulesRow(version + 1, text, nonce, previous)
    }

    /** Whether the write with [nonce], meant to become [version], has been committed; null if this row can't tell. */
    public fun hasCommitted(nonce: String, version: Long): Boolean? = when {
        nonce == this.nonce || nonce in previousNonces -> true
        this.version < version -> null
        this.version - previousNonces.size <= version -> false
        else -> null
    }
}
