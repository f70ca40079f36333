package medlarroute.lab

import com.dynatrace.hash4j.hashing.Hashing
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a backend stand-in does for a task, read from the task's payload.
 *
 * A payload is a list of `key=value` pairs separated by `;`. Known keys: `ms` (run time in milliseconds at speed 1),
 * `bytes` (length of the output in characters) and `fail` (1: the task ends as failed). Other keys make payloads
 * distinct.
 *
 * @property runTime null if the payload names none, so that the kind decides.
 */
internal data class StandinWork(val runTime: Duration?, val outputChars: Int, val fails: Boolean) {
    companion object {
        private const val DEFAULT_OUTPUT_CHARS = 24
        private const val MAX_OUTPUT_CHARS = 1_000_000
        private const val HEX = 16

        fun parse(payload: String): StandinWork {
            val fields = payload.split(';').associate { it.substringBefore('=') to it.substringAfter('=', "") }
            return StandinWork(
                runTime = fields["ms"]?.toDoubleOrNull()?.takeIf { it >= 0 }?.milliseconds,
                outputChars = (fields["bytes"]?.toIntOrNull() ?: DEFAULT_OUTPUT_CHARS).coerceIn(HEX, MAX_OUTPUT_CHARS),
                fails = fields["fail"] == "1",
            )
        }

        /** The one right output for [payload]: its 64-bit hash in hexadecimal, padded to the length it asks for. */
        fun outputOf(payload: String): String {
            val hash = Hashing.xxh3_64().hashCharsToLong(payload).toULong().toString(HEX).padStart(HEX, '0')
            return hash.padEnd(parse(payload).outputChars, '.')
        }
    }
}
