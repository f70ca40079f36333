package medlarroute.lab

import kotlinx.serialization.KSerializer
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption.APPEND
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.WRITE

/**
 * Appends values to a file, one JSON object a line.
 *
 * Each line is handed to the operating system before [write] returns, so that it survives a kill of the process.
 * Thread-safe.
 */
internal class JsonLinesWriter<T>(path: Path, private val serializer: KSerializer<T>) : AutoCloseable {
    private val file = FileChannel.open(path, CREATE, WRITE, APPEND)

    @Synchronized
    fun write(value: T) {
        val line = ByteBuffer.wrap("${labJson.encodeToString(serializer, value)}\n".toByteArray())
        while (line.hasRemaining()) file.write(line)
    }

    override fun close(): Unit = file.close()
}

/** Reads what a [JsonLinesWriter] wrote. A last line without a line end is from a killed writer and is left out. */
internal fun <T> readJsonLines(path: Path, serializer: KSerializer<T>): List<T> {
    val text = Files.readString(path)
    val complete = text.substring(0, text.lastIndexOf('\n') + 1)
    return complete.lineSequence().filter { it.isNotBlank() }.map { labJson.decodeFromString(serializer, it) }.toList()
}
