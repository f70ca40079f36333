package medlarroute.lab

import com.dynatrace.hash4j.hashing.Hashing
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Behaviour of a task on a backend stand-in, parsed from the payload of the task.
 *
 * A payload is a list of `key=value` pairs separated by `;`. Known keys: `ms` (run time in milliseconds at speed 1),
 * `bytes` (length of the output in characters) and `fail` (1: the task ends as failed). Other keys are ignored and can
 * be used to make payloads distinct.
 *
 * @property runTime null if the payload sets none; then the run time depends on the kind of the task.
 */
internal data class StandinTaskSpec(val runTime: Duration?, val outputChars: Int, val fails: Boolean) {
    companion object {
        private const val DEFAULT_OUTPUT_CHARS = 24
        private const val MAX_OUTPUT_CHARS = 1_000_000
        private const val HEX_RADIX = 16

        /** Length of a 64-bit hash in hexadecimal, which is the minimum length of an output. */
        private const val HASH_CHARS = 16

        fun parse(payload: String): StandinTaskSpec {
            val fields = payload.split(';').associate { it.substringBefore('=') to it.substringAfter('=', "") }
            val outputChars = fields["bytes"]?.toIntOrNull() ?: DEFAULT_OUTPUT_CHARS
            return StandinTaskSpec(
                runTime = fields["ms"]?.toDoubleOrNull()?.takeIf { it >= 0 }?.milliseconds,
                outputChars = outputChars.coerceIn(HASH_CHARS, MAX_OUTPUT_CHARS),
                fails = fields["fail"] == "1",
            )
        }

        /** The only correct output for [payload]: its 64-bit hash in hexadecimal, padded to the requested length. */
        fun outputOf(payload: String): String {
            val hash = Hashing.xxh3_64().hashCharsToLong(payload).toULong()
            return hash.toString(HEX_RADIX).padStart(HASH_CHARS, '0').padEnd(parse(payload).outputChars, '.')
        }
    }
}
