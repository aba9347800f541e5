//! Limits on what clients can make a process hold.

use std::time::Duration;

use hg_settings::ServerSettings;

/// Limits of one server. Sizes are in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Most open connections.
    pub connections: usize,
    /// Longest head of a request: its first line and its headers.
    pub head_bytes: usize,
    /// Size limit of all requests that are being received and of all responses that are being sent. A byte of a request counts
    /// twice, since the buffer of a growing body may be twice as large as its content.
    pub buffered_bytes: usize,
    /// Size of each of the system's buffers of a connection: for bytes that have not been read, and for those not yet sent.
    pub socket_buffer_bytes: u32,
    /// How long the head of a request may take, from its first byte.
    pub head_timeout: Duration,
    /// How long a connection may be without a request, a body without a new byte, and a response without being read.
    pub idle_timeout: Duration,
    /// How long a request may take to arrive, from its first byte to its last.
    pub request_timeout: Duration,
}

impl HttpLimits {
    /// What a connection may take beside the buffers for its head and for unread bytes: the buffers for its response, and its
    /// task.
    const CONNECTION_FIXED_BYTES: usize = 16 << 10;
    /// The buffer for a head grows by doubling, and the system keeps twice the size that is set for unread bytes.
    const BUFFER_GROWTH: usize = 2;
    /// The part of a process's memory for connections, and again for requests and responses.
    const MEMORY_SHARE: usize = 4;
    /// Fewest connections of a server, and fewest bytes of requests, however small the host.
    const CONNECTIONS_MIN: usize = 16;
    const BUFFERED_MIN_BYTES: usize = 1 << 20;

    /// Limits for a process that may use `memory_bytes`, and `files` of them for connections of clients.
    #[must_use]
    pub fn for_host(self, memory_bytes: usize, files: usize) -> Self {
        let share = memory_bytes / Self::MEMORY_SHARE;
        let connections = (share / self.connection_bytes()).min(files).min(self.connections);
        Self {
            connections: connections.max(Self::CONNECTIONS_MIN),
            buffered_bytes: share.min(self.buffered_bytes).max(Self::BUFFERED_MIN_BYTES),
            ..self
        }
    }

    /// Limits for a process that may have `files` open, half of them for connections of clients.
    #[must_use]
    pub fn within_files(self, files: usize) -> Self {
        let connections = self.connections.min(files / 2);
        Self { connections: connections.max(Self::CONNECTIONS_MIN), ..self }
    }

    /// The most memory that a connection takes beside bodies and responses, in bytes.
    pub fn connection_bytes(&self) -> usize {
        let socket_buffer = usize::try_from(self.socket_buffer_bytes).unwrap_or(usize::MAX);
        let buffers = self.head_bytes.saturating_add(socket_buffer);
        buffers.saturating_mul(Self::BUFFER_GROWTH).saturating_add(Self::CONNECTION_FIXED_BYTES)
    }

    /// Sets the number of connections.
    #[must_use]
    pub const fn with_connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the size of each of the system's buffers of a connection.
    #[must_use]
    pub const fn with_socket_buffer_bytes(mut self, socket_buffer_bytes: u32) -> Self {
        self.socket_buffer_bytes = socket_buffer_bytes;
        self
    }

    /// Sets the size limit of requests and responses in progress.
    #[must_use]
    pub const fn with_buffered_bytes(mut self, buffered_bytes: usize) -> Self {
        self.buffered_bytes = buffered_bytes;
        self
    }
}

impl From<ServerSettings> for HttpLimits {
    fn from(settings: ServerSettings) -> Self {
        Self {
            connections: settings.connections,
            head_bytes: settings.head_bytes,
            buffered_bytes: settings.buffered_bytes,
            socket_buffer_bytes: settings.socket_buffer_bytes,
            head_timeout: Duration::from_millis(settings.head_ms),
            idle_timeout: Duration::from_millis(settings.idle_ms),
            request_timeout: Duration::from_millis(settings.request_ms),
        }
    }
}

impl Default for HttpLimits {
    fn default() -> Self {
        ServerSettings::default().into()
    }
}

/// The limit of the system on this process's open files.
pub fn files_limit() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.and_then(|limit| usize::try_from(limit).ok()).unwrap_or(usize::MAX)
}
