package medlarroute.lab

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readSymbolicLink
import kotlin.time.TimeSource

/**
 * Resolves the failure domain that a loopback connection comes from, by the process that owns the client socket.
 *
 * All processes of a run share one IP address, so the source address doesn't identify the process. It is found instead
 * by matching the kernel's TCP socket table with the open file descriptors of the processes of the run.
 *
 * @param processes file with one `pid failureDomain` pair per line; read again in each scan, since processes restart.
 */
internal class SourceDomainResolver(private val processes: Path, private val proc: Path = Path.of("/proc")) {
    private var domainsByPort: Map<Int, String> = emptyMap()
    private var scannedAt: TimeSource.Monotonic.ValueTimeMark? = null

    /**
     * Failure domain of the process whose local TCP port is [port]; null if none of the listed processes owns it.
     *
     * One scan serves all connections that were accepted before it, so that a burst of connections doesn't cause one
     * scan each.
     */
    @Synchronized
    fun domainOf(port: Int, acceptedAt: TimeSource.Monotonic.ValueTimeMark): String? {
        val scanned = scannedAt
        if (scanned == null || scanned < acceptedAt) scan()
        return domainsByPort[port]
    }

    private fun scan() {
        scannedAt = TimeSource.Monotonic.markNow()
        val ports = portsByInode()
        domainsByPort =
            listedProcesses()
                .flatMap { (pid, domain) -> socketInodesOf(pid).mapNotNull { ports[it] }.map { it to domain } }
                .toMap()
    }

    /** Pairs of a process id and its failure domain. */
    private fun listedProcesses(): List<Pair<String, String>> {
        if (!processes.exists()) return emptyList()
        return Files.readAllLines(processes).map { it.trim() }.filter { ' ' in it }
            .map { it.substringBefore(' ') to it.substringAfter(' ') }
    }

    private fun portsByInode(): Map<String, Int> =
        listOf("net/tcp", "net/tcp6").map { proc.resolve(it) }.filter { it.exists() }
            .flatMap { table -> Files.readAllLines(table).drop(1) }
            .map { it.trim().split(WHITESPACE) }
            .filter { it[STATE] == ESTABLISHED }
            .associate { it[INODE] to it[LOCAL_ADDRESS].substringAfter(':').toInt(HEX_RADIX) }

    private fun socketInodesOf(pid: String): List<String> =
        try {
            proc.resolve("$pid/fd").listDirectoryEntries().mapNotNull { socketInodeOf(it) }
        } catch (_: IOException) {
            // The process has ended.
            emptyList()
        }

    private fun socketInodeOf(descriptor: Path): String? =
        try {
            val target = descriptor.readSymbolicLink().toString()
            if (target.startsWith(SOCKET_PREFIX)) target.removePrefix(SOCKET_PREFIX).removeSuffix("]") else null
        } catch (_: IOException) {
            // The process closed the descriptor after it was listed.
            null
        }

    private companion object {
        const val SOCKET_PREFIX = "socket:["

        // Columns of /proc/net/tcp.
        const val LOCAL_ADDRESS = 1
        const val STATE = 3
        const val INODE = 9

        const val ESTABLISHED = "01"
        const val HEX_RADIX = 16
        val WHITESPACE = Regex("\\s+")
    }
}
